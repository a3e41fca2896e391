"""Runs a module whose connections come from a loopback address of their own.

On loopback, connections come from 127.0.0.1 otherwise, and a stand-in could not
tell by whom they were opened. The arguments are the address, the module and the
arguments of that.
"""

import runpy
import socket
import sys

_connect_ex = socket.socket.connect_ex


def _connect_from(ip):
    def connect_ex(self, address):
        if self.family == socket.AF_INET and self.type == socket.SOCK_STREAM:
            self.bind((ip, 0))
        return _connect_ex(self, address)

    return connect_ex


if __name__ == '__main__':
    socket.socket.connect_ex = _connect_from(sys.argv[1])
    sys.argv[1:] = sys.argv[2:]
    module = sys.argv.pop(1)
    runpy.run_module(module, run_name='__main__')
