"""One command a measurement; each writes its table and chart to docs/measurements/."""
