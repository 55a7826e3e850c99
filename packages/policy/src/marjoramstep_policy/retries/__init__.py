"""Limits on retries: per request, per service and per request key of the caller."""

from __future__ import annotations

from .allowance import ALLOWANCES
from .allowance import RetryAllowance
from .resend_ledger import RESEND_LEDGERS
from .resend_ledger import ResendLedger
from .resend_ledger import ResendVerdict
from .service_budget import SERVICE_BUDGETS
from .service_budget import Resend
from .service_budget import ServiceRetryBudget


__all__ = [
    "ALLOWANCES",
    "RESEND_LEDGERS",
    "SERVICE_BUDGETS",
    "Resend",
    "ResendLedger",
    "ResendVerdict",
    "RetryAllowance",
    "ServiceRetryBudget",
]
