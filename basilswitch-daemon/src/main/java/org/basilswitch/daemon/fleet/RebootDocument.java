package org.basilswitch.daemon.fleet;

/** A reboot call: the boot that it ends. */
record RebootDocument(String bootId) {}
