package org.basilswitch.peer.codec;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.basilswitch.peer.PeerMessage;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the encoding of peer messages, with messages of a newer version and malformed bytes. */
public final class PeerCodecTest {

    /** One message of each kind. */
    @DataProvider
    public Object[][] messages() {
        PeerMessage.TeamUsage usage = new PeerMessage.TeamUsage("quotes", "depot", 3, 4, 5_000);
        return new Object[][] {
            {new PeerMessage.Heartbeat(1, 20, 19, 18, List.of(usage))},
            {new PeerMessage.HeartbeatReply(1, true, 20, 19, 18)},
            {new PeerMessage.ClaimRequest(-7, 3, Long.MIN_VALUE, Long.MAX_VALUE, 600_000)},
            {new PeerMessage.ClaimReply(-7, PeerMessage.ClaimVerdict.NOT_HOLDER)},
            {new PeerMessage.ClaimRelease(-7, 3, 5, 6)},
            {new PeerMessage.AllotmentRequest("depot", 12)},
            {new PeerMessage.AllotmentNotice("depot", 44, 9)},
            {
                new PeerMessage.ConfigurationUpdate(
                        3, 5, 5, List.of(new PeerMessage.RecordChange("teams/a", Optional.empty(), 5)))
            },
            {new PeerMessage.SnapshotRequest(6)},
        };
    }

    /** A decoded message equals the encoded one, for every kind. */
    @Test(dataProvider = "messages")
    public void decodingReturnsEncodedMessage(PeerMessage message) {
        Assert.assertEquals(PeerCodec.decode(PeerCodec.encode(message)).get(), message);
    }

    /** A message without its last byte is malformed. */
    @Test(dataProvider = "messages")
    public void truncatedMessageIsMalformed(PeerMessage message) {
        byte[] bytes = PeerCodec.encode(message);
        byte[] cut = java.util.Arrays.copyOf(bytes, bytes.length - 1);
        Assert.assertTrue(PeerCodec.decode(cut).getLeft() instanceof DecodeError.Malformed);
    }

    /** A record's value is decoded byte by byte as encoded, not as text. */
    @Test
    public void decodingReturnsEncodedRecordValue() {
        byte[] value = {1, 0, -1};
        PeerMessage message = new PeerMessage.ConfigurationUpdate(
                0, 9, 8, List.of(new PeerMessage.RecordChange("k", Optional.of(value), 8)));
        PeerMessage.ConfigurationUpdate read = (PeerMessage.ConfigurationUpdate)
                PeerCodec.decode(PeerCodec.encode(message)).get();
        Assert.assertEquals(read.changes().get(0).value().orElseThrow(), value);
    }

    /** A field of a newer version is skipped, and fields that the sender left out are zero. */
    @Test
    public void unknownFieldIsSkippedAndAbsentFieldsAreZero() throws Exception {
        TMemoryBuffer buffer = new TMemoryBuffer(64);
        TCompactProtocol out = new TCompactProtocol(buffer);
        out.writeFieldBegin(new TField("heartbeatReply", TType.STRUCT, (short) 2));
        writeI64(out, 1, 42);
        out.writeFieldBegin(new TField("promised", TType.BOOL, (short) 2));
        out.writeBool(true);
        out.writeFieldEnd();
        out.writeFieldBegin(new TField("addedLater", TType.STRING, (short) 77));
        out.writeString("ignored");
        out.writeFieldEnd();
        out.writeFieldStop();
        out.writeFieldEnd();
        out.writeFieldStop();
        PeerMessage read = PeerCodec.decode(bytes(buffer)).get();
        Assert.assertEquals(read, new PeerMessage.HeartbeatReply(42, true, 0, 0, 0));
    }

    /** A kind of a newer version is not reported as malformed, which would close the connection. */
    @Test
    public void unknownMessageKindIsNotMalformed() throws Exception {
        TMemoryBuffer buffer = new TMemoryBuffer(64);
        TCompactProtocol out = new TCompactProtocol(buffer);
        out.writeFieldBegin(new TField("addedLater", TType.STRUCT, (short) 99));
        writeI64(out, 1, 5);
        out.writeFieldStop();
        out.writeFieldEnd();
        out.writeFieldStop();
        Assert.assertTrue(PeerCodec.decode(bytes(buffer)).getLeft() instanceof DecodeError.UnknownKind);
    }

    /** Random bytes decode to a message or an error, never to an exception. */
    @Test
    public void randomBytesNeverThrow() {
        Random random = new Random(7);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = new byte[random.nextInt(64)];
            random.nextBytes(bytes);
            Assert.assertNotNull(PeerCodec.decode(bytes));
        }
    }

    private static void writeI64(TCompactProtocol out, int id, long value) throws Exception {
        out.writeFieldBegin(new TField("f", TType.I64, (short) id));
        out.writeI64(value);
        out.writeFieldEnd();
    }

    private static byte[] bytes(TMemoryBuffer buffer) {
        return java.util.Arrays.copyOf(buffer.getArray(), buffer.length());
    }
}
