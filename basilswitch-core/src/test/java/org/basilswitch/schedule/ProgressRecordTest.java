package org.basilswitch.schedule;

import java.nio.charset.StandardCharsets;

import org.basilswitch.configuration.RecordCodec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

final class ProgressRecordTest {

    /** Entry hosts of two versions share the records: rows of an earlier version are shorter, of a later one longer. */
    @Test(dataProvider = "rows")
    public void rowsOfOtherVersionsAreRead(String row, long holdMs) {
        String json = "{\"fence\":7,\"sequence\":2,\"items\":[" + row + "]}";
        ProgressRecord record = RecordCodec.decode(json.getBytes(StandardCharsets.UTF_8), ProgressRecord.class)
                .orElseThrow();
        ProgressRecord.ItemRow item = record.items().get(0);
        assertEquals(item.lastRun(), 3);
        assertEquals(item.serverId(), "s1");
        assertEquals(item.serverBornMs(), 1700);
        assertEquals(item.holdMs(), holdMs);
    }

    @DataProvider
    public Object[][] rows() {
        return new Object[][] {
            {"[0,0,5,false,3,1,2,\"\",\"s1\",1700]", 0L},
            {"[0,0,5,false,3,1,2,\"\",\"s1\",1700,22204]", 22204L},
            {"[0,0,5,false,3,1,2,\"\",\"s1\",1700,22204,true]", 22204L},
            {"[0,0,5,false,3,1,2,\"\",\"s1\",1700,22204,true,[2]]", 22204L},
            {"[0,0,5,false,3,1,2,\"\",\"s1\",1700,22204,true,[2],\"later\"]", 22204L}
        };
    }
}
