Feature: Entry VMs act as one

  Scenario: A change is in force everywhere, and a repeat changes nothing
    Given a deployment with a proxy before every peer and platform link
    When an operator declares a limit under the change id "c-1"
    Then every entry VM has that version in force
    And repeating "c-1" reports it as already applied

  Scenario: Operators who race get one acceptance and one conflict
    Given a deployment with a proxy before every peer and platform link
    When two operators change the configuration at the same version
    Then one is accepted and the other exits with the conflict code

  Scenario: A store that comes back older reverts nothing
    Given a deployment with a proxy before every peer and platform link
    When a change is accepted and the store is restored from an older backup
    Then every entry VM keeps the accepted version
    And an alarm is logged

  Scenario: An entry VM that starts during an outage is fed by its peers
    Given a deployment with a proxy before every peer and platform link
    And the platform goes down
    When a new entry VM starts
    Then it becomes ready and serves

  Scenario: A data centre cut off from everything serves on and catches up
    Given a deployment with a proxy before every peer and platform link
    When one data centre is cut off from its peers and the platform
    And a change is accepted on the other side
    Then callers of both sides are still answered
    When the links heal
    Then every entry VM has that version in force

  Scenario: A killed entry VM is seen by the others
    Given a deployment with a proxy before every peer and platform link
    When an entry VM is killed
    Then the others list it as dead within three seconds
    When it starts again
    Then the others list it as alive

  Scenario: A paused placement holder wakes up and does no harm
    Given a deployment with a proxy before every peer and platform link
    When the placement holder of a data centre is paused while models change
    Then another entry VM takes its lease over
    When the paused holder wakes up
    Then no engine was ever overcommitted
    And every declared model answers

  Scenario: The models of a killed engine are loaded elsewhere
    Given a deployment with a proxy before every peer and platform link
    When an engine that holds a model is killed
    Then every declared model answers
    And no engine was ever overcommitted

  Scenario: A concurrency limit holds over all entry VMs
    Given a deployment with a proxy before every peer and platform link
    And a limit of 4 requests at once
    When 30 callers at once use all entry VMs and one of those is killed
    Then never more than 4 requests ran at once
    And some requests were answered and the others refused as not run

  Scenario: A platform link that goes silent is replaced
    Given a deployment with a proxy before every peer and platform link
    When the platform links of all entry VMs swallow everything for a while
    And a change is accepted after they pass bytes again
    Then every entry VM has that version in force

  Scenario: Lossy links between peers cause no false deaths
    Given a deployment with a proxy before every peer and platform link
    When a fifth of the peers' packets is lost for a while
    Then nobody was declared dead
