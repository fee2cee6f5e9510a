/** Transport between entry hosts: length-prefixed messages over TCP. */
package org.basilswitch.daemon.peer;
