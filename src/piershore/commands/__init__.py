"""Command line of the program, a module for each verb."""
