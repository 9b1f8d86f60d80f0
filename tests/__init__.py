"""Tests of sabledyke, and the stand-ins and fixtures that they share."""
