"Words tests"
