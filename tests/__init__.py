"""Tests; logging is disabled here, and enabled again in started processes."""

from loguru import logger

logger.remove()
