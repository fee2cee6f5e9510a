package org.basilswitch.standin;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.basilswitch.configuration.RecordCodec;

/** Reads settings sent to a control path: fields that are not sent keep their current value. */
public final class ControlJson {

    private ControlJson() {}

    /** Merges the fields sent into the current settings; empty when the body is not such settings. */
    @SuppressWarnings("unchecked")
    public static <T> Optional<T> merge(T current, Buffer body) {
        try {
            JsonObject fields = new JsonObject(Buffer.buffer(RecordCodec.encode(current)));
            fields.mergeIn(new JsonObject(body));
            return RecordCodec.decode(fields.toBuffer().getBytes(), (Class<T>) current.getClass());
        } catch (DecodeException e) {
            return Optional.empty();
        }
    }
}
