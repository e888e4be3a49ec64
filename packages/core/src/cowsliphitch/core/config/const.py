"""Keys under which the key-value service stores the configuration."""

from typing import Final

ROOT_KEY: Final = "config/root"
VALUE_KEY: Final = "config/values/{digest}"
CHANGE_KEY: Final = "config/changes/{change}"
REJECTED_PREFIX: Final = "config/rejected/"
REJECTED_KEY: Final = "config/rejected/{base:012d}/{change}"
