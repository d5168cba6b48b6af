"""Clients that connect and say nothing. One that is closed connects again at once.

usage: silent.py ADDRESS PORT COUNT SECONDS
"""
import errno
import selectors
import socket
import sys
import time

address, port, count, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
selector = selectors.DefaultSelector()


def connect():
    client = socket.socket()
    client.setblocking(False)
    client.connect_ex((address, port))
    selector.register(client, selectors.EVENT_READ)


for _ in range(count):
    connect()
until = time.monotonic() + seconds
while time.monotonic() < until:
    for key, _ in selector.select(0.2):
        try:
            if key.fileobj.recv(4096):
                continue
        except OSError as error:
            if error.errno in (errno.EAGAIN, errno.EINTR):
                continue
        selector.unregister(key.fileobj)
        key.fileobj.close()
        connect()
