"""A client that receives one answer at a given rate, with the segment size of an Ethernet link: loopback has one of 64 kB, which lets
the kernel take in some megabytes at once. Exits with 0 if the answer was whole, with 1 if its connection ended before that, and
with 2 if there was no answer or it did not end in time."""
import socket
import sys
import time

port, size, rate, key = int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), sys.argv[4]
SEGMENT = 1460

connection = socket.socket()
connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
connection.settimeout(15)
connection.connect(("127.0.0.1", port))
connection.sendall(
    f"GET /report/{size} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: report-{size}\r\nX-Deadline-Ms: 15000\r\n"
    f"Authorization: Bearer {key}\r\n\r\n".encode()
)
start = time.monotonic()
received = bytearray()
end = "still open"
try:
    while True:
        part = connection.recv(2048)
        if not part:
            end = "closed"
            break
        received += part
        ahead = start + len(received) / rate - time.monotonic()
        if ahead > 0:
            time.sleep(ahead)
        if len(received) > size and received.endswith(b"0\r\n\r\n"):
            break
except TimeoutError:
    print(f"report-{size}: no end within 15 s")
    sys.exit(2)
except OSError as error:
    end = str(error)


def body_of(message):
    """Returns the chunks of the body that have arrived, and whether the last chunk has."""
    head, _, rest = bytes(message).partition(b"\r\n\r\n")
    body = b""
    while b"\r\n" in rest:
        length, _, rest = rest.partition(b"\r\n")
        if int(length, 16) == 0:
            return head, body, True
        body, rest = body + rest[: int(length, 16)], rest[int(length, 16) + 2 :]
    return head, body, False


head, body, whole = body_of(received)
status = head.split(b"\r\n")[0].decode()
print(f"report-{size}: {status}, {len(body)} of {size} bytes after {time.monotonic() - start:.1f} s, connection {end}")
if not status.startswith("HTTP/1.1 200"):
    sys.exit(2)
sys.exit(0 if whole and len(body) == size else 1)
