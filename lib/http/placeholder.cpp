// Placeholder that keeps the library non-empty until its first module is written.
