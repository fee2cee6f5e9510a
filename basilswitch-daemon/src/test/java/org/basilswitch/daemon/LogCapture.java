package org.basilswitch.daemon;

import java.util.concurrent.CopyOnWriteArrayList;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.Logger;
import org.apache.logging.log4j.core.appender.AbstractAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.Property;
import org.apache.logging.log4j.message.StringMapMessage;
import org.basilswitch.event.EventCode;

/** Log appender that records the numbers of the events logged while it is open. */
final class LogCapture extends AbstractAppender implements AutoCloseable {
    private final CopyOnWriteArrayList<String> eventNumbers = new CopyOnWriteArrayList<>();
    private final Logger logger;

    private LogCapture(Logger logger) {
        super("capture", null, null, true, Property.EMPTY_ARRAY);
        this.logger = logger;
    }

    static LogCapture open() {
        Configurator.setLevel("org.basilswitch", Level.DEBUG);
        LogCapture capture = new LogCapture((Logger) LogManager.getLogger("org.basilswitch"));
        capture.start();
        capture.logger.addAppender(capture);
        return capture;
    }

    @Override
    public void append(LogEvent event) {
        if (event.getMessage() instanceof StringMapMessage message) {
            eventNumbers.add(message.get("event"));
        }
    }

    boolean hasEvent(EventCode code) {
        return eventNumbers.contains(Integer.toString(code.number()));
    }

    @Override
    public void close() {
        logger.removeAppender(this);
        stop();
    }
}
