"""Small helpers of one job each."""
