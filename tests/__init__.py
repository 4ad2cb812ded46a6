"""Tests of oleanderdrift."""
