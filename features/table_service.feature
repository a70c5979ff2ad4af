Feature: Writes to the table service have a known outcome
  Operators and callers rely on conditional writes. Under every fault of the table
  service or of the connection to it, a write takes effect at most once and its
  reported outcome is correct.

  Scenario Outline: A write meets one fault
    Given a table service that shows "<fault>" on the next write
    When a client writes a new row
    Then the write is reported as committed
    And the row was written once

    Examples:
      | fault             |
      | outage            |
      | cut               |
      | lose_answer       |
      | fail              |
      | duplicate_request |
      | duplicate_answer  |
      | truncate          |
      | garbage           |
      | oversize          |
      | silent            |

  Scenario Outline: The table service stays faulty
    Given a table service that shows "<fault>" on every call
    When a client writes a new row
    Then the write is reported as <outcome>

    Examples:
      | fault       | outcome              |
      | outage      | not run              |
      | cut         | possibly in effect   |
      | lose_answer | possibly in effect   |
      | garbage     | possibly in effect   |

  Scenario Outline: Two operators race
    Given a table service that shows "<fault>" on the next write
    And another operator has written the row
    When a client writes a new row
    Then the write is reported as a conflict
    And the other operator's row is in place

    Examples:
      | fault            |
      | nothing          |
      | outage           |
      | duplicate_answer |

  Scenario: Two operators race and the answer to the first write is lost
    Given a table service that shows "cut" on the next write
    And another operator has written the row
    When a client writes a new row
    Then the write is reported as possibly in effect
    And the other operator's row is in place

  Scenario Outline: A list of rows meets one fault
    Given a table service with 250 rows that shows "<fault>" on the second page
    When a client reads all rows
    Then it gets each row once, in order

    Examples:
      | fault       |
      | outage      |
      | cut         |
      | truncate    |
      | garbage     |
      | oversize    |
