"conch scripts"
