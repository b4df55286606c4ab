"conch tests"
