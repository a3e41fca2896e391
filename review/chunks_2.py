"""Clients that upload chunked bodies of legal size and never end them.

Usage: chunks_2.py IP PORT CLIENTS CHUNK_BYTES CHUNKS PAUSE_S

Each client sends so many chunks at once, and again after a pause. The process
ends by itself after some time, or when it is ended.
"""

import socket
import sys
import threading
import time

# Limit of the site on a body, and the time after which the process ends.
BODY_MAX_BYTES = 67108864
LIFETIME_S = 100


def upload(address, number, chunk_bytes, chunk_count, pause_s):
    """Send one body until its legal size or the connection ends."""
    content = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes) * chunk_count
    body_bytes = 0
    with socket.create_connection(address) as client:
        client.sendall(
            b'POST /write/x HTTP/1.1\r\nHost: h.example\r\n'
            b'X-Request-Id: upload-%d\r\nX-Deadline-Ms: 90000\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n' % number
        )
        while body_bytes + chunk_bytes * chunk_count < BODY_MAX_BYTES:
            try:
                client.sendall(content)
            except OSError as error:
                print(f'upload-{number} ended: {error}', flush=True)
                return
            body_bytes += chunk_bytes * chunk_count
            sent[number] = body_bytes
            time.sleep(pause_s)
        time.sleep(LIFETIME_S)


if __name__ == '__main__':
    ip, port, clients, chunk_size, chunks, pause = sys.argv[1:]
    sent = [0] * int(clients)
    for index in range(int(clients)):
        threading.Thread(
            target=upload,
            args=(
                (ip, int(port)),
                index,
                int(chunk_size),
                int(chunks),
                float(pause),
            ),
            daemon=True,
        ).start()
    for _ in range(LIFETIME_S):
        time.sleep(1)
        print(f'{sum(sent)} bytes of bodies sent', flush=True)
