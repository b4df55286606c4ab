"pair tests"
