Feature: What changes while a list of several pages is read

  # A list counted as complete up to the revision of its last page: what changed on a page
  # that had been read before was neither in the list nor in the watch that followed.
  @leaving_gets_no_new_work @accepted_config_in_force
  Scenario Outline: <change> between two pages of a list that is read <when>
    Given a gateway before healthy endpoints, and lists of 2 pages
    When <change> between the pages that it reads <when>
    Then it acts on the change within 2 s

    Examples:
      | change                 | when                        |
      | an endpoint leaves     | at its start                |
      | an endpoint leaves     | again after a lost history  |
      | an endpoint leaves     | again in another era        |
      | an endpoint is removed | at its start                |
      | an endpoint is removed | again after a lost history  |
      | a route is added       | at its start                |
      | a hall is drained      | at its start                |
      | a drain is lifted      | at its start                |

  Scenario Outline: the product's own store client, and <change> between two pages
    Then its list holds the newest state if <change> between two pages

    Examples:
      | change                                       |
      | an object of the first page is written       |
      | an object of the first page is removed       |
      | an object of the second page is written      |
      | an object of the second page is removed      |
      | an object is written twice                   |
      | an object is removed and made again          |
      | an object before all others is made          |

  Scenario: pages between which nothing changes
    Then a list of two pages takes two calls
