/** The transport between entry hosts: length-framed messages over TCP. */
package org.basilswitch.daemon.peer;
