"""Tests of stored formats: data of earlier versions is read completely and written to the same bytes."""
