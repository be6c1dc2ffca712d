Feature: What must always hold for a request

  Background:
    Given a deployment of three entry VMs

  Scenario: A stream cut by its engine is resumed and whole
    Given every engine cuts its next stream at token 7
    When a caller streams 20 tokens
    Then the answer is whole
    And no token came twice

  Scenario: Chunks of another request and repeated chunks never reach the caller
    Given every engine sends somebody else's chunk and a repeated one
    When a caller streams 20 tokens
    Then the answer is whole

  Scenario: An engine that goes silent in a stream is left behind
    Given every engine goes silent in its next stream
    When a caller streams 20 tokens
    Then the answer is whole

  Scenario: An answer without its end marker is completed
    Given every engine loses the end of its next stream
    When a caller streams 20 tokens
    Then the answer is whole

  Scenario: A stream that nobody can complete ends with a typed error
    When a caller streams 400 tokens and every engine is killed meanwhile
    Then the stream ends with an error whose run is partial

  Scenario: A caller that hangs up stops the engine's work
    When a caller hangs up in a stream of 2000 tokens
    Then the engine stops generating within a second

  Scenario: A lost reply of a filing is not sent again
    Given every service server loses its next reply
    When a caller files a claim
    Then the answer is 502 with run unknown
    And the claim ran once

  Scenario: A filing repeated under its key through another entry VM runs once
    When a caller files a claim under a key
    And it repeats that through another entry VM
    Then both answers are the same
    And the claim ran once

  Scenario: A repeat of a filing whose reply was lost is told it is unknown
    Given every service server loses its next reply
    When a caller files a claim under a key
    And it repeats that through another entry VM
    Then the answer is 409 with run unknown
    And the claim ran once

  Scenario: A key that cannot be claimed is refused as not run
    Given the platform is down
    When a caller files a claim under a key
    Then the answer is 503 with run no
    And the claim never ran

  Scenario: A lost reply of the claim itself does not block the filing
    Given the platform loses its next replies
    When a caller files a claim under a key
    Then the answer is 200
    And the claim ran once

  Scenario: A server that refuses before running is passed over
    Given one service server refuses its next call
    When a caller files a claim
    Then the answer is 200
    And the claim ran once

  Scenario: An answer cut in the middle is fetched again or visibly cut
    Given every service server cuts its next answer
    When a caller fetches 100000 bytes
    Then all of them arrive

  Scenario: A leaving engine gets no new work
    When an engine starts leaving while callers go on
    Then it got no new work after three seconds
    And every answer of those callers was whole

  Scenario: A planned stop cuts no stream
    When an entry VM is stopped while it serves a stream of 300 tokens
    Then the answer is whole
    And that entry VM exits with code 0

  Scenario: A deferred request survives the replacement of every entry VM
    Given a deferred request that must wait
    When every entry VM is killed and replaced
    Then its result can be collected
    And the engines ran it once
