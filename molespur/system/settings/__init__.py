"""Process settings and operator configurations."""
