"""Speed and memory, as ratios and slopes in one run."""
