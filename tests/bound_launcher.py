"""Starts an entry whose connections come from its own loopback address.

On loopback, connections come from 127.0.0.1 otherwise, and a stand-in could not
tell by whom they were opened.
"""

import os
import runpy
import socket
import tomllib
from pathlib import Path

_connect_ex = socket.socket.connect_ex


def _connect_from(ip):
    def connect_ex(self, address):
        if self.family == socket.AF_INET and self.type == socket.SOCK_STREAM:
            self.bind((ip, 0))
        return _connect_ex(self, address)

    return connect_ex


if __name__ == '__main__':
    settings = tomllib.loads(Path(os.environ['COPPERYARD_CONFIG']).read_text())
    socket.socket.connect_ex = _connect_from(settings['ip'])
    runpy.run_module('copperyard.launcher', run_name='__main__')
