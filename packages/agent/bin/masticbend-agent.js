#!/usr/bin/env node
// Starts the built program; npm links this file before the first build.
import '../dist/main.js';
