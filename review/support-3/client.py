"""A client by the users' pages: one request on a channel of its own."""
import asyncio
import collections

from fleet import HOST

Answer = collections.namedtuple("Answer", "status is_whole fields")
NO_ANSWER = Answer(None, False, {})


def request_head(method, path, identity, key="key-1", deadline=1000, body=b"", fields=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {identity}", f"X-Deadline-Ms: {deadline}", *fields]
    if key is not None:
        lines.append(f"Api-Key: {key}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def fields_of(answer):
    """The header fields by their names in lower case."""
    lines = answer.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
    return {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


def is_whole(answer):
    """Whether the bytes of a channel are a whole answer by its framing."""
    head, separator, body = answer.partition(b"\r\n\r\n")
    lines = [line.lower() for line in head.split(b"\r\n")]
    if not separator:
        return False
    if b"transfer-encoding: chunked" in lines:
        return body.endswith(b"0\r\n\r\n")
    lengths = [int(line.split(b":")[1]) for line in lines if line.startswith(b"content-length:")]
    return bool(lengths) and len(body) == lengths[0]


async def ask(record, port, method, path, identity, key="key-1", deadline=1000, body=b"", fields=()):
    """Sends a request, waits until the channel ends, and records what came."""
    answer = NO_ANSWER
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_head(method, path, identity, key, deadline, body, ("Connection: close", *fields)) + body)
        text = await asyncio.wait_for(reader.read(), deadline / 1000 + 2)
        writer.close()
        answer = Answer(int(text.split(b" ")[1]), is_whole(text), fields_of(text))
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        pass
    record.write(f"sent: {identity} -> {answer.status or 'no answer'}{'' if answer.is_whole else ', not whole'}")
    return answer
