"""Bad clients: each sends many short requests at once on a connection of its own, and goes.

Arguments: the port of the agent and the number of clients. All connections are opened before the first byte.
"""

import socket
import sys
import threading

BYTES = b"GET / HTTP/1.1\r\n\r\n" * 16_000  # 288 kB.


def send_and_go(sock: socket.socket) -> None:
    """Send everything and close; the agent may close or reset the connection meanwhile."""
    try:
        sock.settimeout(6)
        sock.sendall(BYTES)
    except OSError:
        pass
    sock.close()


def main() -> None:
    """Send from all clients at the same time."""
    port, count = int(sys.argv[1]), int(sys.argv[2])
    socks = [socket.create_connection(("127.0.0.1", port), timeout=3) for _ in range(count)]
    threads = [threading.Thread(target=send_and_go, args=(sock,)) for sock in socks]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main()
