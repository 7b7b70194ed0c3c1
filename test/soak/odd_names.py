"""Names of entries that other writers leave in the store, which a query or a path holds only if they are escaped."""

# Each stands for another name, an earlier one but for the last, when a server unescapes it.
ESCAPES = ("a00%20", "a01%23", "a02&b=", "a03+", "a04%C3%A9")
# Every other character with a meaning of its own, a line's end, and bytes beyond ASCII.
OTHERS = ("a00 ", "a01#", "a04é", "a05/x", "a06?x=1", "a07%", "a08%zz", "a09;:@,$!*'()", "a10[]{}|\\^`<>\"", "a11~._-", "a12\r\nX: 1", "a13\t", "a14語")
SETS = {"escapes": ESCAPES, "all": ESCAPES + OTHERS, "plain": tuple(f"b{number:02}" for number in range(8))}


async def write_entries(store, kind, names, content_bytes):
    """Leaves an entry under each name, whose content is of so many bytes and stands for nothing."""
    content = '{"filler":"' + "." * content_bytes + '"}'
    for name in names:
        await store.fault(kind="odd_entry", of=kind, name=name, content=content)
