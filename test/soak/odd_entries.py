"""Contents of entries that another writer has left in the store, as raw JSON texts."""

SOUND = ('"service":"lm","addr":"127.0.0.1:9","zone":"a","version":"v1","slots":8,"state":"ready",'
         '"born":1,"cold_left_ms":0,"seq":1')


def nested(depth):
    return "[" * depth + "]" * depth


def entry(changed):
    """An upstream's entry in which later fields replace earlier ones."""
    return "{" + SOUND + "," + changed + "}"


CONTENTS = (
    entry(f'"extra":{nested(40)}'),
    entry(f'"extra":{nested(20_000)}'),
    nested(1000),
    entry('"extra":1e99999999999'),
    entry('"extra":"\\ud800"'),
    entry('"born":1e300'),
    entry('"born":99999999999999999999999'),
    entry('"slots":1e20'),
    entry('"slots":4e9'),
    entry('"slots":[]'),
    entry('"cold_left_ms":1e300'),
    entry('"addr":"not an address:80"'),
    entry('"addr":"127.0.0.1:70000"'),
    entry('"addr":17'),
    entry('"state":"sleeping"'),
    entry('"service":null'),
    "nonsense",
    "17",
    '"}]],{"',
    '{"service":"lm","target":"v9","over_s":1e300}',
)
