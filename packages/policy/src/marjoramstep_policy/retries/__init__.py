"""Limits on retries: per request, per service and per request key of a client."""

from __future__ import annotations

from .resend_tracker import RESEND_TRACKERS
from .resend_tracker import ResendDecision
from .resend_tracker import ResendTracker
from .retry_allowance import RETRY_ALLOWANCES
from .retry_allowance import RetryAllowance
from .service_retry_budget import SERVICE_RETRY_BUDGETS
from .service_retry_budget import RefusedCall
from .service_retry_budget import ServiceRetryBudget


__all__ = [
    "RESEND_TRACKERS",
    "RETRY_ALLOWANCES",
    "SERVICE_RETRY_BUDGETS",
    "RefusedCall",
    "ResendDecision",
    "ResendTracker",
    "RetryAllowance",
    "ServiceRetryBudget",
]
