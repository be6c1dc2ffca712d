Feature: Entry VMs stay consistent under faults

  Scenario: A change is applied by every entry VM, and its retry is not applied again
    Given a deployment with a fault proxy on every peer and platform link
    When an operator declares a limit under the change id "c-1"
    Then every entry VM has applied that version
    And retrying "c-1" reports it as already applied

  Scenario: Of two concurrent changes, one is accepted and one is a conflict
    Given a deployment with a fault proxy on every peer and platform link
    When two operators change the configuration at the same version
    Then one is accepted and the other exits with the conflict code

  Scenario: A store restored from an older backup does not revert the configuration
    Given a deployment with a fault proxy on every peer and platform link
    When a change is accepted and the store is restored from an older backup
    Then every entry VM keeps the accepted version
    And an alarm is logged

  Scenario: An entry VM that starts during an outage gets the configuration from peers
    Given a deployment with a fault proxy on every peer and platform link
    And the platform goes down
    When a new entry VM starts
    Then it becomes ready and serves

  Scenario: A partitioned data centre continues to serve and then applies missed changes
    Given a deployment with a fault proxy on every peer and platform link
    When the links of one data centre to its peers and the platform are cut
    And a change is accepted in the other data centre
    Then callers of both data centres still receive responses
    When the links are restored
    Then every entry VM has applied that version

  Scenario: The other entry VMs detect the death and restart of an entry VM
    Given a deployment with a fault proxy on every peer and platform link
    When an entry VM is killed
    Then the others list it as dead within three seconds
    When it starts again
    Then the others list it as alive

  Scenario: A resumed previous holder of the placement lease does not overcommit engines
    Given a deployment with a fault proxy on every peer and platform link
    When the holder of a data centre's placement lease is paused while models change
    Then another entry VM acquires its lease
    When the paused entry VM resumes
    Then no engine was ever overcommitted
    And every entry VM serves every declared model

  Scenario: The models of a killed engine are loaded elsewhere
    Given a deployment with a fault proxy on every peer and platform link
    When an engine with a resident model is killed
    Then every entry VM serves every declared model
    And no engine was ever overcommitted

  Scenario: A concurrency limit holds over all entry VMs
    Given a deployment with a fault proxy on every peer and platform link
    And a limit of 4 requests at once
    When 30 callers at once use all entry VMs and one of those is killed
    Then never more than 4 requests ran at once
    And some requests succeeded and the others were refused as not run

  Scenario: An unresponsive platform connection is replaced
    Given a deployment with a fault proxy on every peer and platform link
    When the platform links of all entry VMs drop all data for a while
    And a change is accepted after the platform links are restored
    Then every entry VM has applied that version

  Scenario: Packet loss between peers does not cause entry VMs to be declared dead
    Given a deployment with a fault proxy on every peer and platform link
    When a fifth of the peers' packets is lost for a while
    Then no entry VM was declared dead
