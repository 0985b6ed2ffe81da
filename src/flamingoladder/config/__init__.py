"""Configuration: the model, its validation and the file format."""

from __future__ import annotations
