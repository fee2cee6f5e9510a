/** Encoding of the peer messages as Thrift structs in the compact protocol. */
package org.basilswitch.peer.codec;
