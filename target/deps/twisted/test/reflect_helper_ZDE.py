# Helper module for a test_reflect test

1 // 0
