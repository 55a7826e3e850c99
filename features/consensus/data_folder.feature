Feature: Data folder of a replica
  Guards against a vote or an entry that is lost or invented by a restart, and against
  disk faults that are not detected or that destroy stored data.

  Scenario: Identity, vote, entries and snapshot survive a restart
    Given a data folder on disk that stored 12 entries and a snapshot at 5
    When the data folder on disk is opened again
    Then the data folder holds entries 6 to 12 after the snapshot at 5
    And the data folder keeps the identity, the term and the vote

  Scenario: The commit index survives a restart, a snapshot and a compaction
    Given a data folder on disk that stored 12 entries and a snapshot at 5
    When the data folder on disk is opened again
    Then the data folder knows that entries up to 11 are committed

  Scenario: A log without commit indexes is read
    Given a data folder in memory whose 5 records have no commit index
    Then the data folder in memory loads 5 entries and knows of no commit

  Scenario: Opening a data folder that is in use is refused
    Given a data folder on disk that stored 3 entries and a snapshot at 1
    Then opening the data folder a second time fails with "FolderLockedError"

  Scenario: A path that is not a folder is refused
    Given a data folder on disk that stored 3 entries and a snapshot at 1
    Then opening the log file as a data folder fails with "StorageError"

  Scenario: Replaced entries stay replaced after a restart
    Given a data folder in memory that stored 5 entries
    When entries 3 to 4 of a later term are stored in the data folder
    Then the data folder loads entries 1 to 4 and the last 2 are of the later term

  Scenario: A torn last record of any length is truncated and reported
    Given a data folder in memory that stored 5 entries
    Then truncating or corrupting the last record at any byte loses only that record

  Scenario: Corruption before the last record is refused and the log is left unchanged
    Given a data folder in memory that stored 5 entries
    Then corrupting any byte before the last record fails with an error naming the remedy

  Scenario: A crash at any step of storing a snapshot loses nothing
    Given a data folder in memory that stored 8 entries
    Then a crash at any step of storing a snapshot at 6 leaves all 8 entries

  Scenario: A crash at any step of installing a snapshot leaves the old or the new state
    Given a data folder in memory that stored 8 entries
    Then a crash at any step of installing a snapshot at 20 leaves 8 or 20 entries

  Scenario Outline: A write that fails reports the cause and loses nothing
    Given a data folder in memory that stored 5 entries
    When storing in the data folder fails with "<cause>"
    Then the data folder raises "<error>"
    And after "<cause>" the data folder <next>

    Examples:
      | cause  | error               | next                   |
      | ENOSPC | DiskFullError       | stores the entry again |
      | EROFS  | FolderReadOnlyError | stores the entry again |
      | EIO    | StorageError        | refuses until reopened |

  Scenario Outline: A data folder with a missing file is refused
    Given a data folder in memory that stored 5 entries
    When the file "<name>" of the data folder is deleted
    Then opening the data folder fails with "StoredDataDamagedError"

    Examples:
      | name          |
      | log           |
      | identity.json |

  Scenario: An empty data folder is assigned a unique identity once
    Then two identities generated for the same name differ
    And a data folder with an identity refuses a second one
