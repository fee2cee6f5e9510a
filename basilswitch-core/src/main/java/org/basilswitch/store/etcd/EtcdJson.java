package org.basilswitch.store.etcd;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Encodes and decodes etcd messages by the JSON mapping of protocol buffers: 64-bit integers are strings, bytes are
 * base64, default values are omitted and unknown fields are ignored.
 */
public final class EtcdJson {
    private static final ObjectMapper MAPPER = createMapper();

    private EtcdJson() {}

    private static ObjectMapper createMapper() {
        ObjectMapper mapper = JsonMapper.builder()
                .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                .defaultPropertyInclusion(
                        JsonInclude.Value.construct(JsonInclude.Include.NON_DEFAULT, JsonInclude.Include.ALWAYS))
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
        mapper.configOverride(long.class).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.STRING));
        return mapper;
    }

    /** Encodes a message. */
    public static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("message can't be encoded as JSON: " + message.getClass(), e);
        }
    }

    /** Decodes a message; returns empty when the bytes are not a valid message of the type. */
    public static <T> Optional<T> decode(byte[] bytes, Class<T> type) {
        try {
            return Optional.ofNullable(MAPPER.readValue(bytes, type));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the UTF-8 bytes of a key. */
    public static byte[] keyBytes(String key) {
        return key.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the key encoded by UTF-8 bytes; an empty string for null or no bytes. */
    public static String key(byte[] bytes) {
        return bytes == null ? "" : new String(bytes, StandardCharsets.UTF_8);
    }

    /**
     * Returns the exclusive end of the range of keys with a prefix: the prefix with its last byte incremented. The
     * increment never overflows, because UTF-8 has no byte 0xFF.
     *
     * @param prefix key prefix, not empty
     */
    public static byte[] prefixEnd(String prefix) {
        byte[] end = keyBytes(prefix);
        end[end.length - 1]++;
        return end;
    }
}
