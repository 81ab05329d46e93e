"""Demo and generator of the reference pages."""
