#!/bin/sh
exec "$(dirname "$0")/../play-2.sh" tenant review/8
