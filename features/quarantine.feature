Feature: Quarantine of what requests that crash endpoints have in common
  Sequences of events at three crashes to a verdict. `crash a,b / a,c` is one crash in which two
  requests were lost, `burst 3 a` are three crashes at the same time, `begin a` is the first event of
  a response, and `wait 5` lets five seconds pass.

  # Guards against verdicts that miss the part that crashes, or that refuse requests without it.
  Scenario Outline: The verdict names what the crashes have in common: <why>
    When these events happen: <events>
    Then requests with these fingerprints are refused: <refused>
    And requests with these fingerprints are served: <served>

    Examples:
      | why                                        | events                                                                                | refused            | served          |
      | requests that are alike in one part | crash top,dead,r1; crash top,dead,r2; crash top,dead,r3 | top,dead,r4 | top,r5; dead,r6 |
      | the part stands below different ones | crash t1,dead,r1; crash t2,dead,r2; crash t3,dead,r3 | t4,dead,r4 | t1,r5 |
      | a sound part above was served before | begin top; crash top,dead,r1; crash top,dead,r2; crash top,dead,r3 | t2,dead,r4 | top,r5 |
      | a sound part above is served in between | crash top,dead,r1; crash top,dead,r2; begin top; crash top,dead,r3 | t2,dead,r4 | top,r5 |
      | requests beside it in each crash | begin top; crash top,dead,r1 / top,a,r2; crash top,dead,r3 / top,b,r4; crash top,dead,r5 / top,c,r6 | top,dead,r7 | top,a,r8; top,c,r6 |
      | a request that is like one that is refused | crash top,dead,r1 / top,s,r2; crash top,dead,r3; crash top,dead,r4 / top,s,r5 | top,dead,r6 | top,s,r7 |
      | two parts at once | crash x,r1 / y,r2; crash x,r3 / y,r4; crash x,r5 / y,r6 | x,r7; y,r8 | z,r9 |
      | one part below the other | crash a,b,r1; crash a,r2; crash a,b,r3; crash a,b,r4; crash b,r5; crash b,r6 | a,r7; b,r8 | c,r9 |
      | crashes for another reason | burst 5 top,r1 | none | top,r2 |
      | rare crashes for another reason | crash top,r1; begin top; crash top,r2; begin top; crash top,r3; begin top; crash top,r4 | none | top,r5 |
      | two crashes | crash top,dead,r1; crash top,dead,r2 | none | top,dead,r3 |
      | one request that is sent again | crash top,s,r1; crash top,s,r1; crash top,s,r1 | top,s,r1 | top,s,r2 |
      | old crashes | crash dead,r1; crash dead,r2; wait 700; crash dead,r3 | none | dead,r4 |
      | a part that was sound and is so no longer | begin p; crash p,r1; crash p,r2; crash p,r3; crash p,r4; crash p,r5; crash p,r6 | p,r7 | q,r8 |
      | the end of the term | crash dead,r1; crash dead,r2; crash dead,r3; wait 130 | none | dead,r4 |
      | a crash after the end of the term | crash dead,r1; crash dead,r2; crash dead,r3; wait 130; crash dead,r4; wait 400 | dead,r5 | top,r6 |
      | endpoints that were repaired | crash dead,r1; crash dead,r2; crash dead,r3; wait 130; begin dead; crash dead,r4 | none | dead,r5 |

  # Guards against a verdict that returns from another router after its part was found to be sound.
  Scenario: A verdict of another router loses the parts that are known to be sound here
    When these events happen: begin top
    And another router decides that requests with these fingerprints crash endpoints: top,dead
    Then requests with these fingerprints are refused: dead,r1
    And requests with these fingerprints are served: top,r2

  # Guards against memory that grows with every part that a caller names.
  Scenario: The memory of fingerprints is bounded
    When 600 crashes of 200 requests with new fingerprints are recorded
    Then the quarantine holds at most 50000 fingerprints
