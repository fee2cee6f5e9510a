/**
 * Admission under load: the scheduler's leader tells the entry hosts how much work waits in pools that are short of room,
 * and the entry hosts turn away jobs that could not end while they are of use to their callers.
 */
package org.basilswitch.overload;
