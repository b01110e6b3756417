"""Random faults against real router processes on the stand-ins of the platform."""
