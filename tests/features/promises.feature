Feature: Guarantees to callers under failures

  Background:
    Given a deployment of three entry VMs

  Scenario: A stream cut by its engine is resumed and complete
    Given every engine cuts its next stream at token 7
    When a caller streams 20 tokens
    Then the response is complete
    And no token was received twice

  Scenario: Chunks of another request and repeated chunks never reach the caller
    Given every engine sends a chunk of another request and a duplicate chunk
    When a caller streams 20 tokens
    Then the response is complete

  Scenario: A stream is resumed elsewhere if its engine stops sending
    Given every engine stops sending in its next stream
    When a caller streams 20 tokens
    Then the response is complete

  Scenario: A response without its end marker is completed
    Given every engine loses the end of its next stream
    When a caller streams 20 tokens
    Then the response is complete

  Scenario: A stream that no engine can complete ends with a typed error
    When a caller streams 400 tokens and every engine is killed meanwhile
    Then the stream ends with an error whose run is partial

  Scenario: A caller that disconnects stops the engine's work
    When a caller disconnects during a stream of 2000 tokens
    Then the engine stops generating within a second

  Scenario: A non-idempotent request is not sent again if its reply is lost
    Given every service server loses its next reply
    When a caller files a claim
    Then the response is 502 with run unknown
    And the claim ran once

  Scenario: A retry with the same idempotency key through another entry VM runs once
    When a caller files a claim with an idempotency key
    And it sends that again through another entry VM
    Then both responses are the same
    And the claim ran once

  Scenario: A retry with the same idempotency key after a lost reply gets run unknown
    Given every service server loses its next reply
    When a caller files a claim with an idempotency key
    And it sends that again through another entry VM
    Then the response is 409 with run unknown
    And the claim ran once

  Scenario: A request whose idempotency key cannot be reserved is refused as not run
    Given the platform is down
    When a caller files a claim with an idempotency key
    Then the response is 503 with run no
    And the claim never ran

  Scenario: A lost reply to the reservation of the key does not block the request
    Given the platform loses its next replies
    When a caller files a claim with an idempotency key
    Then the response is 200
    And the claim ran once

  Scenario: A request that a server refuses before running is sent to another server
    Given one service server refuses its next call
    When a caller files a claim
    Then the response is 200
    And the claim ran once

  Scenario: A response cut in the middle is fetched again
    Given every service server cuts its next response
    When a caller fetches 100000 bytes
    Then all of them arrive

  Scenario: A draining engine gets no new work
    When an engine begins to drain while callers continue
    Then it received no new work after three seconds
    And every response to those callers was complete

  Scenario: A planned stop cuts no stream
    When an entry VM is stopped while it serves a stream of 300 tokens
    Then the response is complete
    And that entry VM exits with code 0

  Scenario: A deferred request survives the replacement of every entry VM
    Given a deferred request that must wait
    When every entry VM is killed and replaced
    Then its result can be collected
    And the engines ran it once
