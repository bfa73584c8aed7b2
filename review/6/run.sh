#!/bin/sh
exec "$(dirname "$0")/../play-2.sh" quota review/6
