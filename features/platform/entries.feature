Feature: Decoding of what other systems send

  Guards against a daemon that ends, or stops following the store, because another writer
  left one odd entry among those of the servers: an exception that a decoder does not
  expect ends the task that reads the store.  The same holds for all bytes from outside.

  Scenario Outline: An odd entry names no server
    When the entry of a server has <oddity>
    Then it names no server

    Examples:
      | oddity                          |
      | 100000 nested lists             |
      | a field with 100000 nested lists |
      | no content                      |
      | a list instead of an object     |
      | slots of 10**30                 |
      | slots of -1                     |
      | slots of 2.5                    |
      | slots of true                   |
      | born of 10**40                  |
      | born of -1                      |
      | born of 1e400                   |
      | cold_left_ms of Infinity        |
      | cold_left_ms of 1e400           |
      | cold_left_ms of -5              |
      | cold_left_ms of 10**40          |
      | cold_left_ms of "soon"          |
      | cold_left_ms of null            |
      | cold_left_ms of false           |
      | cold_left_ms of an empty text   |
      | cold_left_ms of an empty list   |
      | a number of 5000 digits         |
      | port 99999                      |
      | port 0                          |
      | a port of 5000 digits           |
      | a port of non-ASCII digits      |
      | a line break in the host        |
      | a space in the host             |
      | a lone surrogate in the zone    |
      | a line break in the version     |
      | a version that is a number      |
      | a service of 5000 characters    |
      | an identifier with a line break |
      | an identifier beyond Latin-1    |
      | an unknown state                |

  Scenario Outline: Generated inputs raise no exception in <decoder>
    Then 400 generated inputs to the decoder of <decoder> give a value or are refused

    Examples:
      | decoder                  |
      | a server's entry         |
      | the operator's document  |
      | the key of an evacuation |
      | a member's entry         |
      | a daemon's streams       |
      | a daemon's suspects      |
      | stage answers            |
      | a server's headers       |
      | a caller's headers       |
      | a heartbeat              |
      | the store's answers      |
      | the store's era          |
