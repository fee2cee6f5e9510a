package org.basilswitch.configuration;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Encodes and decodes stored records as JSON. Unknown fields are ignored when decoding, so that entry hosts of two
 * software versions can share one store.
 */
public final class RecordCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private RecordCodec() {}

    /** Encodes a record whose fields are basic types, lists, maps or records of these. */
    public static byte[] encode(Object record) {
        try {
            return MAPPER.writeValueAsBytes(record);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("record can't be encoded as JSON: " + record.getClass(), e);
        }
    }

    /** Decodes a record; returns empty when the bytes are not a valid record of the type. */
    public static <T> Optional<T> decode(byte[] bytes, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(bytes, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
