"""What the demo starts, requests and edits."""

from __future__ import annotations

from ..deployment import Deployment


UPLOAD_SERVICE = "panels"
UPLOAD_METHOD = "PUT"
UPLOAD_PATH = "/scans/1"
UPLOAD_BODY = b"scan of a finished panel"
UPLOAD_ROW = "panel-upload"
# One byte less than the body, so the same request exceeds the limit after the edit.
EDITED_CELL = f"body_limit_bytes={len(UPLOAD_BODY) - 1}"
RESTORED_CELL = "body_limit_bytes=1048576"


def demo_deployment() -> Deployment:
    """Return the demo's deployment.

    An upload to the service ``panels`` makes a further call to the service ``archive``.

    :return: two services with two backend servers each and three replicas, spread over
        three availability zones
    """
    constant = {"kind": "constant", "mean_ms": 5.0}
    archive = {"paths": [{"prefix": "/", "service_time": constant}]}
    lookup = {"service": "archive", "path": "/blazons/{n}"}
    panels = {
        "paths": [
            {"prefix": "/", "service_time": constant},
            {"prefix": "/scans", "service_time": constant, "calls": [lookup]},
        ]
    }
    size = {"servers": 2, "slots": 8, "connections": 100}
    document = {
        "name": "demo",
        "zones": ["zone-a", "zone-b", "zone-c"],
        "replicas": 3,
        "services": [
            {"name": "archive", **size, "profile": archive},
            {"name": UPLOAD_SERVICE, **size, "profile": panels},
        ],
        "rows": [
            {
                "name": "blazon-read",
                "service": "archive",
                "method": "GET",
                "weight": 50,
                "repeatable": True,
            },
            {
                "name": UPLOAD_ROW,
                "service": UPLOAD_SERVICE,
                "method": UPLOAD_METHOD,
                "path_prefix": "/scans",
                "weight": 300,
                "repeatable": True,
            },
        ],
    }
    return Deployment.from_json(document)
