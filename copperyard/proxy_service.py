"""gRPC service that a proxy provides to other proxies."""

from grpclib.server import Stream

from copperyard.claim_manager import ClaimManager
from copperyard.loan_manager import LoanManager
from copperyard.messages_grpc import ProxyBase
from copperyard.messages_pb2 import (
    BorrowReply,
    BorrowRequest,
    ClaimReply,
    ClaimRequest,
    FinishReply,
    FinishRequest,
    HandClaimsReply,
    HandClaimsRequest,
    ReturnReply,
    ReturnRequest,
)


class ProxyService(ProxyBase):
    """Answers claim and loan calls of other proxies.

    :param claims: claims of this proxy.
    :param loans: loans of this proxy.
    """

    def __init__(self, claims: ClaimManager, loans: LoanManager) -> None:
        self._claims = claims
        self._loans = loans

    async def Claim(  # noqa: N802
        self,
        stream: Stream[ClaimRequest, ClaimReply],
    ) -> None:
        """Grant or refuse the claim of a request id."""
        request = await stream.recv_message()
        if request is not None:
            verdict = await self._claims.handle_claim(request)
            await stream.send_message(ClaimReply(verdict=int(verdict)))

    async def Finish(  # noqa: N802
        self,
        stream: Stream[FinishRequest, FinishReply],
    ) -> None:
        """Record the end of a claimed request."""
        request = await stream.recv_message()
        if request is not None:
            self._claims.handle_finish(request)
            await stream.send_message(FinishReply())

    async def HandClaims(  # noqa: N802
        self,
        stream: Stream[HandClaimsRequest, HandClaimsReply],
    ) -> None:
        """Accept the claims of a leaving member."""
        request = await stream.recv_message()
        if request is not None:
            reply = self._claims.handle_handover(request)
            await stream.send_message(HandClaimsReply(reply=int(reply)))

    async def Borrow(  # noqa: N802
        self,
        stream: Stream[BorrowRequest, BorrowReply],
    ) -> None:
        """Lend a slot to another proxy."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._loans.handle_borrow(request))

    async def Return(  # noqa: N802
        self,
        stream: Stream[ReturnRequest, ReturnReply],
    ) -> None:
        """Free a lent slot that the borrower returns."""
        request = await stream.recv_message()
        if request is not None:
            self._loans.handle_return(request)
            await stream.send_message(ReturnReply())
